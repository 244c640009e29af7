"""quillstep: a central planner behind a layer of plain proxies."""
