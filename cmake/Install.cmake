# Installs the library, headers, CMake package, programs, manual pages and the systemd unit.
include(CMakePackageConfigHelpers)

install(TARGETS almondlever EXPORT almondleverTargets
  ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(DIRECTORY include/almondlever DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
foreach(program IN ITEMS almondleverd almondleverctl)
  if(TARGET ${program})
    install(TARGETS ${program} RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
  endif()
endforeach()
install(FILES man/almondleverd.8 DESTINATION ${CMAKE_INSTALL_MANDIR}/man8)
install(FILES man/almondleverctl.1 DESTINATION ${CMAKE_INSTALL_MANDIR}/man1)
install(FILES packaging/almondleverd.service DESTINATION lib/systemd/system)
install(FILES packaging/almondleverd.env DESTINATION share/almondlever)

# The static library needs the libraries that it was built with; the package file finds them for its users.
file(CONFIGURE OUTPUT ${CMAKE_CURRENT_BINARY_DIR}/almondleverConfig.cmake @ONLY CONTENT [[
include(CMakeFindDependencyMacro)
find_dependency(Threads)
find_dependency(OpenSSL)
find_dependency(yaml-cpp)
find_dependency(fmt)
find_dependency(ZLIB)
find_dependency(PkgConfig)
pkg_check_modules(LOG4CXX REQUIRED IMPORTED_TARGET liblog4cxx)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
include("${CMAKE_CURRENT_LIST_DIR}/almondleverTargets.cmake")
]])
install(EXPORT almondleverTargets NAMESPACE almondlever:: DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/almondlever)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/almondleverConfig.cmake DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/almondlever)
