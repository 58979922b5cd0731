# Helpers that declare a package's library and its tests.

# Declares the static library jasminecroft-NAME from the package's src/*.cc.
# Files named *-main.cc belong to programs and are left out.
function(jasminecroft_library NAME)
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cc
       ${CMAKE_CURRENT_SOURCE_DIR}/src/detail/*.cc
       ${CMAKE_CURRENT_SOURCE_DIR}/src/serving/*.cc)
  list(FILTER SOURCES EXCLUDE REGEX "-main\\.cc$")
  if(SOURCES)
    add_library(jasminecroft-${NAME} STATIC ${SOURCES})
    target_include_directories(jasminecroft-${NAME} PUBLIC include PRIVATE src)
    target_link_libraries(jasminecroft-${NAME} PUBLIC ${ARGN})
  else()
    add_library(jasminecroft-${NAME} INTERFACE)
    target_include_directories(jasminecroft-${NAME} INTERFACE include)
    target_link_libraries(jasminecroft-${NAME} INTERFACE ${ARGN})
  endif()
endfunction()

# Declares one test program per test/NAME-test.cc of the package.
function(jasminecroft_tests)
  if(NOT JASMINECROFT_TEST)
    return()
  endif()
  file(GLOB TESTS CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/test/*-test.cc)
  foreach(TEST ${TESTS})
    get_filename_component(TEST_NAME ${TEST} NAME_WE)
    add_executable(${TEST_NAME} ${TEST})
    target_link_libraries(${TEST_NAME} PRIVATE ${ARGN} doctest::doctest)
    target_compile_definitions(${TEST_NAME} PRIVATE
      JASMINECROFT_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
      JASMINECROFT_BINARY_DIR="${CMAKE_BINARY_DIR}")
    add_test(NAME ${TEST_NAME} COMMAND ${TEST_NAME})
    set_tests_properties(${TEST_NAME} PROPERTIES TIMEOUT 600
      WORKING_DIRECTORY ${CMAKE_SOURCE_DIR}
      ENVIRONMENT "RC_PARAMS=seed=20261204")
  endforeach()
endfunction()
