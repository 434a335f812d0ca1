"""Tasks that own their sockets and state."""
