"""Specifications whose transitions call the functions of mothpass.core."""
