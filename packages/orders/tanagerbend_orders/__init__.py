"""Order keys and the order ledger."""
