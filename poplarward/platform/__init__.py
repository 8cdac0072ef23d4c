"""Runs poplarward on the users' platform.

Translates between the platform's protocol and poplarward's own types, without decisions
of its own. Each protocol field is decoded once, into the types of `poplarward.direct`.
Programs are started by ``python3 -m poplarward.platform ROLE``.
"""
