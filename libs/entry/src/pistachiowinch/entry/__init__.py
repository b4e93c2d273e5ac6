"""One entry host: assembles sessions, fleet and limits over interfaces to the outside."""
