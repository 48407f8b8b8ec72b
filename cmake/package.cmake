# Adds one library package: every source below src, its headers public.
function(add_package name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
  add_library(${name} STATIC ${sources})
  target_include_directories(${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/src)
  target_link_libraries(${name} PUBLIC project_options ${ARGN})
endfunction()

# Adds one Criterion test program from tests/*.cpp of the calling package.
function(add_criterion_tests name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
  if(NOT GOOSEBERRY_TESTS OR NOT sources)
    return()
  endif()
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${ARGN} PkgConfig::CRITERION)
  add_test(NAME ${name} COMMAND ${name} --jobs 2 --timeout 120 --verbose)
  # Criterion does not end a test that waits for ever, whatever its timeout.
  set_tests_properties(${name} PROPERTIES TIMEOUT 600)
endfunction()
