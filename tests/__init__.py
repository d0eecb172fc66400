"""Tests of robinthread."""
