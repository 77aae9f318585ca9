"""Tasks, mailboxes and timers."""
