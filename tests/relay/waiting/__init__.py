"""Tests of the queue for decode memory."""
