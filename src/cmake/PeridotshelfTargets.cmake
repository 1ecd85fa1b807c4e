# peridotshelf_library(NAME SOURCES ... DEPS ...)
# Adds the static library ps_NAME. Its public headers are in
# src/include/peridotshelf/NAME/.
function(peridotshelf_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_library(ps_${name} STATIC ${ARG_SOURCES})
  target_include_directories(ps_${name} PUBLIC ${CMAKE_SOURCE_DIR}/src/include
                             PRIVATE ${CMAKE_SOURCE_DIR}/src)
  target_compile_options(ps_${name} PRIVATE ${PERIDOTSHELF_WARNINGS})
  target_link_libraries(ps_${name} PUBLIC ${ARG_DEPS})
endfunction()

# peridotshelf_test(NAME SOURCES ... DEPS ...)
# Adds the CppUnit program NAME_test and registers it with ctest.
function(peridotshelf_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name}_test ${ARG_SOURCES})
  target_include_directories(${name}_test PRIVATE ${CMAKE_SOURCE_DIR}/src/include
                             ${CMAKE_SOURCE_DIR}/src)
  target_compile_options(${name}_test PRIVATE ${PERIDOTSHELF_WARNINGS})
  target_compile_definitions(${name}_test PRIVATE
    PERIDOTSHELF_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  target_link_libraries(${name}_test PRIVATE ${ARG_DEPS} ps_testing)
  add_test(NAME ${name} COMMAND ${name}_test)
  set_tests_properties(${name} PROPERTIES TIMEOUT 120
    ENVIRONMENT "RC_PARAMS=seed=20261203")
endfunction()

set(PERIDOTSHELF_WARNINGS -Wall -Wextra -Werror -Wshadow -Wnon-virtual-dtor
    -Wno-psabi)
