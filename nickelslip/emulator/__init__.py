"""Everything that surrounds servers, emulated on loopback sockets, and fleets of true processes among it."""
