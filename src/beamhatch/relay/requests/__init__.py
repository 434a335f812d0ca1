"""One request: its rules, its way through, the line for decode memory and the budget of repeated sends."""
