# Package configuration for find_package(hemlockvane). Link hemlockvane::hemlockvane, the decision logic.
include(CMakeFindDependencyMacro)
find_dependency(Protobuf)
include("${CMAKE_CURRENT_LIST_DIR}/hemlockvaneTargets.cmake")
