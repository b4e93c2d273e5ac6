"""Rates, slots, fair queues and retry budgets."""
