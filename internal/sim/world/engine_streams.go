package world

import (
	"github.com/spanlanding/spanlanding/internal/sim"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

// serve handles a request that arrived over a link. Only the first copy gets a
// reader; the answer to a duplicate is discarded.
func (e *engineProcess) serve(from *link, message func(engine.CallID) engine.Message) {
	e.lastCall++
	id := e.lastCall
	if !from.reached {
		from.reached = true
		from.stream = e.world.network.OpenStream(sim.StreamOptions{
			From: e.process, To: from.request.part.node.process, ToBoot: from.boot, Detection: cutDetection, Broken: from.broken,
		})
		e.readers[id] = from
	}
	from.calls = append(from.calls, id)
	e.step(message(id))
	if from.readerClosed {
		e.readerClosed(from)
	}
}

// readerClosed handles that the node has closed its side of a link.
func (e *engineProcess) readerClosed(from *link) {
	for _, id := range from.calls {
		delete(e.readers, id)
		e.step(engine.Detach{Call: id})
	}
	from.calls = nil
}

func (e *engineProcess) performStream(effect engine.Effect) {
	switch effect := effect.(type) {
	case engine.Emit:
		if reader := e.readers[effect.Call]; reader != nil {
			reader.chunk(effect.Chunk)
			if effect.Chunk.Finish != "" {
				delete(e.readers, effect.Call)
				reader.ended(true)
			}
		}
	case engine.Broken:
		if reader := e.readers[effect.Call]; reader != nil {
			delete(e.readers, effect.Call)
			if effect.Clean {
				reader.ended(false)
			} else {
				reader.stream.Break()
			}
		}
	case engine.Refused:
		if reader := e.readers[effect.Call]; reader != nil {
			delete(e.readers, effect.Call)
			reader.refusal(effect.Reason)
		}
	}
}
