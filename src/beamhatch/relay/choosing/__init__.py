"""Which upstream gets a send, by what is known of each."""
