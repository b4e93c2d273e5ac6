"""Stand-ins and process control for the scripts of the second review; standard library only."""
