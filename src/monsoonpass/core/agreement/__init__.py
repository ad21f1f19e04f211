"""The replicated log: who leads, what is committed, who belongs."""
