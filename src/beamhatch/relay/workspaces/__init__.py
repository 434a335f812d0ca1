"""Workspaces: caller keys, admission and quotas."""
