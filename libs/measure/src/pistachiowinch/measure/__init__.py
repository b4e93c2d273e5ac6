"""Scenario runner and tables of measures."""
