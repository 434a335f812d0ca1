"""Relaying of one request: its state machine, the queue for decode memory and the retry budget."""
