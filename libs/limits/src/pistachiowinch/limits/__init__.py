"""Rate limits, admission control with fair queueing, and retry budgets."""
