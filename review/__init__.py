"""Cases of an independent review; see REPORT.md.

The stand-ins of the platform and the instances run in the process of a case,
on gevent.
"""

from gevent import monkey

monkey.patch_all()
