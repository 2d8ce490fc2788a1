"""Tests of figford."""
