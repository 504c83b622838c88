"""The real server: one program on sockets round the module of decisions."""
