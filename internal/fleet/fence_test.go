package fleet

import "testing"

func TestFenceOrdersByAllotmentVersionThenTermThenHolder(t *testing.T) {
	ascending := []Fence{
		NewFence(0, 1, 9),
		NewFence(0, 2, 1),
		NewFence(0, 2, 2),
		NewFence(1, 0, 0),
		NewFence(1, MaxFenceTerm, 3),
		NewFence(2, 0, 0),
	}
	for index := 1; index < len(ascending); index++ {
		if ascending[index-1] >= ascending[index] {
			t.Errorf("fence %v is not below %v", ascending[index-1], ascending[index])
		}
	}
}

func TestFenceKeepsItsParts(t *testing.T) {
	fence := NewFence(7, 11, 13)
	if fence.AllotmentVersion() != 7 || fence.Term() != 11 || fence.Holder() != 13 {
		t.Fatalf("got %v", fence)
	}
}
