from hypothesis import HealthCheck, settings

# How fast examples are drawn depends on what else the machine does, so it must not
# decide a verdict.
settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=50,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("ci")
