"""Pure decision code: no reactor, socket, file or wall clock."""
