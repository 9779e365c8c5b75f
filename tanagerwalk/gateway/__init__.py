"""HTTP gateway that forwards client requests to backend servers unmodified.

Method, target, body and end-to-end headers are passed through byte for byte.
"""
