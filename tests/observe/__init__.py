"""Tests of logs and figures."""
