"""Tasks that own sockets, files and connections round the core."""
