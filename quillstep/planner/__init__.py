"""The decisions of quillstep, without I/O or a clock: which endpoints the proxies use, and what they admit."""
