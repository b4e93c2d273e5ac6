"""Runs scenarios on simulated sites and reports measurements as tables."""
