"""The HTTP interface that callers use."""
