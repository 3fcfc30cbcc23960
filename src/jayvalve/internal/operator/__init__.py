"""Commands and reports for operators."""
