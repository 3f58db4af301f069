package demo

import "context"

// process is one running entry or endpoint.
type process struct {
	cancel context.CancelFunc
	done   chan struct{}
	// err is valid after done is closed.
	err error
}

func startProcess(run func(context.Context) error) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = run(ctx)
	}()
	return p
}

// stop requests a graceful stop and waits until the process has ended.
func (p *process) stop() error {
	p.cancel()
	return p.wait()
}

func (p *process) wait() error {
	<-p.done
	return p.err
}
