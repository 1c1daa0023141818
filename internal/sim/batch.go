package sim

import "sync"

// RunSeed runs one seed. It must depend on nothing but its arguments.
type RunSeed func(seed uint64) Report

// RunBatch runs the seeds from first on, several at once. The reports are in
// the order of the seeds, whatever the number of workers. progress, if set, is
// called after each run, by one goroutine at a time.
func RunBatch(first uint64, count, workers int, run RunSeed, progress func(done int)) []Report {
	reports := make([]Report, count)
	next := make(chan int)
	var group sync.WaitGroup
	var mutex sync.Mutex
	done := 0
	for range max(1, min(workers, count)) {
		group.Go(func() {
			for index := range next {
				reports[index] = run(first + uint64(index))
				mutex.Lock()
				done++
				if progress != nil {
					progress(done)
				}
				mutex.Unlock()
			}
		})
	}
	for index := range count {
		next <- index
	}
	close(next)
	group.Wait()
	return reports
}
