package fleet

func defaultService() Service {
	return Service{
		Limits: Limits{
			InFlightPerTarget: DefaultInFlightPerTarget,
			LoadFactor:        DefaultLoadFactor,
			Queue:             DefaultQueue,
			QueueWait:         DefaultQueueWait,
			BodyBytes:         DefaultBodyBytes,
		},
		WarmUp: WarmUp{
			ColdLimit:    DefaultColdLimit,
			RampRequests: DefaultRampRequests,
		},
		Placement: Placement{Spread: DefaultSpread},
		Timeouts: Timeouts{
			FirstByte: DefaultFirstByte,
			Gap:       DefaultGap,
			Total:     DefaultTotal,
		},
	}
}

func defaultStore() Store {
	return Store{
		ConcurrentLoads: DefaultConcurrentLoads,
		BytesPerSecond:  DefaultBytesPerSecond,
	}
}
