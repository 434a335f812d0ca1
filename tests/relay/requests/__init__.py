"""Tests of the relaying of requests."""
