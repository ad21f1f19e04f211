"""Call handling: routing, admission, retries and answer checks."""
