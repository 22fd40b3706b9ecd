package forecast

// workerModel learns the slowdown of workers.
type workerModel struct {
	uneven bool
}

func newWorkerModel() workerModel {
	return workerModel{}
}

func (m *workerModel) slowdown(string) Slowdown {
	return Slowdown{Factor: 1}
}
