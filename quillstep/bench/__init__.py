"""Measurements that anybody can repeat: `quillstep bench …`."""
