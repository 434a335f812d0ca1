"""Assignment of engines to the prefill and decode phases, ordered by an elected VM."""
