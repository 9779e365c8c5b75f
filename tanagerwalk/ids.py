"""Identifier types used throughout the package."""

from typing import NewType

ClassName = NewType("ClassName", str)
ClientAccountId = NewType("ClientAccountId", str)
VersionName = NewType("VersionName", str)
ServiceName = NewType("ServiceName", str)
BackendServerId = NewType("BackendServerId", str)
InstanceId = NewType("InstanceId", str)
Incarnation = NewType("Incarnation", str)
FailureDomain = NewType("FailureDomain", str)
Region = NewType("Region", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
Fingerprint = NewType("Fingerprint", str)
PartKey = NewType("PartKey", str)
Revision = NewType("Revision", int)
FencingToken = NewType("FencingToken", int)
SectionHash = NewType("SectionHash", str)
RouteName = NewType("RouteName", str)
ModelName = NewType("ModelName", str)
ReleaseName = NewType("ReleaseName", str)
