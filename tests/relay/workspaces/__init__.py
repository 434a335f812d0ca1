"""Tests of the workspaces."""
