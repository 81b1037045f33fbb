"""Small specifications of core protocols, checked exhaustively."""
