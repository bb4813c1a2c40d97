# Finds the decision cores of hemlockvane: link hemlockvane::hemlockvane.
include(CMakeFindDependencyMacro)
find_dependency(Protobuf)
include("${CMAKE_CURRENT_LIST_DIR}/hemlockvaneTargets.cmake")
