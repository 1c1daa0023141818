package sim

import "sync"

// RunSeed runs one seed. Its result must depend on the seed alone.
type RunSeed func(seed uint64) Report

// RunBatch runs count consecutive seeds starting at first, using several
// workers. The reports are in seed order for any number of workers. progress,
// if not nil, is called after each run, never concurrently.
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
