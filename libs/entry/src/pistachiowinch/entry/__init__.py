"""One entry host: puts sessions, fleet and limits together over interfaces to the outside."""
