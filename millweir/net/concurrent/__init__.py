"""The other live processes of this relay, which share its state folder while one replaces the other.

To rules and limits they are one relay.  `monitor.py` is the one place that looks at them; what their
journals say is decoded in `journal_view.py`, and the order of messages with one key is decided in
`key_turns.py`.  Both work on records and times that they are given, without files or a clock.
docs/design/concurrent.md has the table of what the processes share.
"""
