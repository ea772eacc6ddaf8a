# Takes the version from git when the build starts from a checkout.
find_package(Git QUIET)
set(ALMONDLEVER_VERSION "unversioned")
if(GIT_FOUND)
  execute_process(COMMAND ${GIT_EXECUTABLE} describe --always --dirty --tags
    WORKING_DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR} OUTPUT_VARIABLE described RESULT_VARIABLE failed
    OUTPUT_STRIP_TRAILING_WHITESPACE ERROR_QUIET)
  if(NOT failed)
    set(ALMONDLEVER_VERSION "${described}")
  endif()
endif()
file(CONFIGURE OUTPUT ${CMAKE_CURRENT_BINARY_DIR}/generated/AlmondleverVersion.h CONTENT
"#pragma once

namespace almondlever {

/** Version of the build, as git describes the checkout. */
inline constexpr const char* buildVersion = \"${ALMONDLEVER_VERSION}\";

} // namespace almondlever
")
