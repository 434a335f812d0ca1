"""The other VMs: who is there, what is told, and who reads from the store."""
