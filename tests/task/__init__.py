"""Tests of the tasks."""
