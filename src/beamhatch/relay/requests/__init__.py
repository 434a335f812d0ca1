"""Relaying of one request: its state machine, its terms, and the steps that it plans and carries out."""
