package eventstream

import (
	"fmt"
	"testing"
)

// BenchmarkEvent measures what an event on its way to a caller costs.
func BenchmarkEvent(b *testing.B) {
	for _, idless := range []bool{false, true} {
		b.Run(fmt.Sprintf("without ID %v", idless), func(b *testing.B) {
			var order Order
			buffer := make([]byte, 0, 256)
			b.ReportAllocs()
			number := 0
			for b.Loop() {
				number++
				buffer = buffer[:0]
				if !idless || number%100 == 0 {
					buffer = fmt.Appendf(buffer, "id: %d\n", number)
				}
				buffer = append(buffer, "data: {\"choices\":[{\"delta\":{\"content\":\" some text of an event\"}}]}\n\n"...)
				var splitter Splitter
				text := buffer[:splitter.Next(buffer)]
				if _, err := order.Next(Parse(text), text, StepsOfOne); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
